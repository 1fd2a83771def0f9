/// \file
/// A client: one session.
#ifndef REVIEW_STAND_INS_2_CLIENT_HH
#define REVIEW_STAND_INS_2_CLIENT_HH

#include "process.hh"

#include <atomic>

namespace review2 {

struct answer {
  std::vector<std::string> Rows;
  std::string Receipt;
  /// Code of the error; empty after a success.
  std::string Error;
  /// State that READY names; 0 if there was no whole answer.
  char State = 0;

  [[nodiscard]] bool isSuccess() const { return State != 0 && Error.empty(); }
  [[nodiscard]] std::string text() const {
    return State == 0      ? "no answer"
           : Error.empty() ? "COMPLETE " + Receipt
                           : "ERROR " + Error;
  }
};

class client {
public:
  client(std::string Name, record &Record)
      : Name(std::move(Name)), Record(Record) {}
  ~client() { disconnect(); }
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  bool start(const process &To, const std::string &Database,
             const std::string &Key) {
    disconnect();
    Socket = To.connect();
    if (Socket < 0) {
      Record.add(Name, "is not connected by " + To.name());
      return false;
    }
    Reader.emplace(Socket);
    sendAll(Socket, "START " + Database + " " + Key + "\r\n");
    std::optional<std::string> Line = Reader->line(clock::now() + 2s);
    Record.add(Name, "START " + Database + " at " + To.name() + " -> " +
                         Line.value_or("no answer"));
    return Line && Line->starts_with("READY");
  }
  void disconnect() {
    if (Socket >= 0)
      close(Socket);
    Socket = -1;
  }

  static std::string nextId() {
    static std::atomic<unsigned> Last{0};
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", ++Last);
    return Id;
  }

  answer query(const std::string &Text, std::chrono::milliseconds Limit = 5s) {
    return query(nextId(), Text, Limit);
  }
  answer query(const std::string &Id, const std::string &Text,
               std::chrono::milliseconds Limit) {
    Record.add(Name, "QUERY " + Id + " " + Text.substr(0, 60));
    answer Answer;
    if (Socket >= 0 && sendAll(Socket, "QUERY " + Id + " " + Text + "\r\n"))
      Answer = read(Limit);
    Record.add(Name, Id + " -> " + Answer.text());
    return Answer;
  }

  /// Sends the message in \p Count pieces.
  answer queryInPieces(const std::string &Id, const std::string &Text,
                       std::size_t Count, std::chrono::milliseconds Interval,
                       std::chrono::milliseconds Limit) {
    Record.add(Name, "QUERY " + Id + " " + Text.substr(0, 60));
    std::string Message = "QUERY " + Id + " " + Text + "\r\n";
    std::size_t Piece = Message.size() / Count + 1;
    bool IsSent = Socket >= 0;
    for (std::size_t At = 0; At < Message.size() && IsSent; At += Piece) {
      IsSent = sendAll(Socket, std::string_view(Message).substr(At, Piece));
      std::this_thread::sleep_for(Interval);
    }
    answer Answer;
    if (IsSent)
      Answer = read(Limit);
    Record.add(Name, Id + " -> " + Answer.text());
    return Answer;
  }

  answer read(std::chrono::milliseconds Limit) {
    auto Deadline = clock::now() + Limit;
    answer Answer;
    while (std::optional<std::string> Line = Reader->line(Deadline)) {
      std::string Word = takeField(*Line);
      if (Word == "ROW")
        Answer.Rows.push_back(*Line);
      else if (Word == "COMPLETE")
        Answer.Receipt = *Line;
      else if (Word == "ERROR")
        Answer.Error = takeField(*Line);
      else if (Word == "READY" && !Line->empty()) {
        Answer.State = Line->front();
        break;
      }
    }
    return Answer;
  }

  [[nodiscard]] int socket() const { return Socket; }

private:
  std::string Name;
  record &Record;
  int Socket = -1;
  std::optional<line_reader> Reader;
};

} // namespace review2

#endif
