#include "writing_clients.hh"

namespace review {

using namespace std::chrono_literals;

void writing_clients::start(const daemon_process &Daemon,
                            const std::string &Name) {
  Threads.emplace_back([this, &Daemon, Name] { write(Daemon, Name); });
}

void writing_clients::stop() {
  IsOver = true;
  for (std::thread &Thread : Threads)
    Thread.join();
}

void writing_clients::write(const daemon_process &Daemon,
                            const std::string &Name) {
  std::unique_ptr<client> Client;
  for (int Number = 0; !IsOver; ++Number) {
    if (!Client) {
      Client = std::make_unique<client>();
      if (!Client->start(Daemon.front(), "filing", "key1")) {
        Client.reset();
        std::this_thread::sleep_for(50ms);
        continue;
      }
    }
    std::string Text = "WRITE 1a4 " + Name + "-" + std::to_string(Number);
    record().line(Daemon.id() + " < " + Text);
    std::string Outcome = Client->ask(Text);
    double Now = record().now();
    record().line(Daemon.id() + " > " + Text + ": " + Outcome);
    if (Outcome.rfind("COMPLETE r", 0) == 0) {
      std::lock_guard Lock(Mutex);
      Answered[Text] = Now;
    } else if (Outcome == "no answer") {
      Client.reset();
    }
    std::this_thread::sleep_for(30ms);
  }
}

std::set<std::string> writing_clients::answeredBefore(double Time) {
  std::lock_guard Lock(Mutex);
  std::set<std::string> Result;
  for (const auto &[Text, At] : Answered)
    if (At < Time)
      Result.insert(Text);
  return Result;
}

std::set<std::string> writing_clients::answeredFrom(double Time) {
  std::lock_guard Lock(Mutex);
  std::set<std::string> Result;
  for (const auto &[Text, At] : Answered)
    if (At >= Time)
      Result.insert(Text);
  return Result;
}

bool isServed(const daemon_process &Daemon) {
  for (int Try = 0; Try < 150; ++Try) {
    client Client;
    if (Client.start(Daemon.front(), "filing", "key1") &&
        Client.ask("WRITE 1a4 first-" + newId()).rfind("COMPLETE r", 0) == 0)
      return true;
    std::this_thread::sleep_for(200ms);
  }
  record().line(Daemon.id() + " serves no write");
  return false;
}

} // namespace review
