#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_NETWORK_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_NETWORK_H

#include "radishrelay/base/monotonic_clock.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace radishrelay::sessions::tests {

/// Which nodes of a simulated fleet reach each other, and how fast.
class simulated_network {
public:
  /// Failure domain of the platform's store. It is never cut off itself.
  static constexpr const char *PlatformDomain = "platform";

  void place(const std::string &Node, const std::string &Domain) {
    Domains[Node] = Domain;
  }
  /// Cuts a failure domain off from all others.
  void setCut(const std::string &Domain, bool IsCut) {
    if (IsCut)
      CutDomains.insert(Domain);
    else
      CutDomains.erase(Domain);
  }
  /// Marks a node as an instance of the database group.
  void markInstance(const std::string &Node) { InstanceNodes.insert(Node); }
  /// Cuts an instance off from the other instances and from all nodes of other
  /// failure domains.
  void setIsolated(const std::string &Node, bool IsIsolated) {
    if (IsIsolated)
      IsolatedNodes.insert(Node);
    else
      IsolatedNodes.erase(Node);
  }
  /// Cuts a host off from all other nodes.
  void setIsolatedHost(const std::string &Node, bool IsIsolated) {
    if (IsIsolated)
      IsolatedHosts.insert(Node);
    else
      IsolatedHosts.erase(Node);
  }
  [[nodiscard]] bool isIsolatedHost(const std::string &Node) const {
    return IsolatedHosts.contains(Node);
  }
  /// Cuts the path between a host and an instance, or takes that back.
  void setPathCut(const std::string &Host, const std::string &Instance,
                  bool IsCut) {
    if (IsCut)
      CutPaths.insert({Host, Instance});
    else
      CutPaths.erase({Host, Instance});
  }
  /// Cuts a node off from the platform alone.
  void setCutFromPlatform(const std::string &Node, bool IsCut) {
    if (IsCut)
      NodesWithoutPlatform.insert(Node);
    else
      NodesWithoutPlatform.erase(Node);
  }
  [[nodiscard]] bool reaches(const std::string &From,
                             const std::string &To) const {
    if (IsolatedHosts.contains(From) || IsolatedHosts.contains(To) ||
        CutPaths.contains({From, To}) || CutPaths.contains({To, From}))
      return false;
    const std::string &Source = Domains.at(From);
    const std::string &Target = Domains.at(To);
    bool IsIsolated =
        IsolatedNodes.contains(From) || IsolatedNodes.contains(To);
    bool IsCutFromPlatform =
        Target == PlatformDomain && NodesWithoutPlatform.contains(From);
    bool AreInstances =
        InstanceNodes.contains(From) && InstanceNodes.contains(To);
    if (Source == Target)
      return !(IsIsolated && AreInstances);
    return !IsIsolated && !IsCutFromPlatform && !CutDomains.contains(Source) &&
           !CutDomains.contains(Target);
  }
  [[nodiscard]] base::duration latency(const std::string &From,
                                       const std::string &To) const {
    return Domains.at(From) == Domains.at(To) ? std::chrono::microseconds(200)
                                              : std::chrono::microseconds(1400);
  }

private:
  std::map<std::string, std::string> Domains;
  std::set<std::string> CutDomains;
  std::set<std::string> InstanceNodes;
  std::set<std::string> IsolatedNodes;
  std::set<std::string> IsolatedHosts;
  std::set<std::string> NodesWithoutPlatform;
  /// Hosts and the instances that they do not reach.
  std::set<std::pair<std::string, std::string>> CutPaths;
};

} // namespace radishrelay::sessions::tests

#endif
