#include <FaultMatrix/Entry.h>

namespace laburnum::faults {

namespace {

/// From a broken connection to the answers of the probes.
constexpr Duration ProbeTime = std::chrono::milliseconds(20);

} // namespace

void Entry::onGuardNotification(GuardNotification const &Notification) {
  for (auto const &One : Notification.Reservations_)
    if (auto const Found = Peers_.find(One.To_); Found != Peers_.end())
      Hooks_.SendToPeer_(Number_, {Found->second, One.Message_});
  notifyPeers(Notification.Reports_);
  if (Notification.BrokenOff_)
    later(ProbeTime, [this, Id = *Notification.BrokenOff_] {
      classifyBrokenConnection(Id);
    });
}

void Entry::notifyPeers(std::vector<CrashReport> const &Reports) {
  if (Reports.empty())
    return;
  for (auto const &[Id, Where] : Peers_)
    Hooks_.SendToPeer_(Number_, {Where, CrashReports{Reports}});
}

void Entry::classifyBrokenConnection(ServerId const &Id) {
  auto const &Backends = Hooks_.Backends_;
  auto const AnswerOf = [&](ServerId const &One) {
    return Backends.isUp(One) ? ProbeAnswer::Accepted : ProbeAnswer::Silent;
  };
  auto const &Server = Backends.server(Id);
  DisconnectProbes Probes{{AnswerOf(Id)}, {}};
  for (auto const &Other : Backends.serversIn(Server.DataCentre_))
    if (Other != Id && Guard_.mayConfirmReclaim(Id, Other, Hooks_.Queue_.now()))
      Probes.Neighbours_.push_back(AnswerOf(Other));
  notifyPeers(Guard_.onDisconnectClassified(Server, classifyDisconnect(Probes),
                                            Hooks_.Queue_.now()));
}

void Entry::setGuardPeers(std::vector<Member> const &Members) {
  Peers_.clear();
  std::set<InstanceId> Names;
  for (auto const &One : Members) {
    if (One.Liveness_ == Liveness::Gone || One.Instance_.Id_ == Self_.Id_)
      continue;
    Peers_[One.Instance_.Id_] = One.Instance_.Peers_;
    Names.insert(One.Instance_.Id_);
  }
  Chooser_.setPeers(std::move(Names));
}

} // namespace laburnum::faults
