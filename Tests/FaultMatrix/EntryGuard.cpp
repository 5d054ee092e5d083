#include <FaultMatrix/Entry.h>

namespace laburnum::faults {

namespace {

/// From a broken connection to the answers of the probes.
constexpr Duration ProbeTime = std::chrono::milliseconds(20);

} // namespace

void Entry::onGuardNotification(GuardNotification const &Notification) {
  for (auto const &Item : Notification.Reservations_)
    if (auto const Found = Peers_.find(Item.To_); Found != Peers_.end())
      Hooks_.SendToPeer_(Number_, {Found->second, Item.Message_});
  notifyPeers(Notification.Reports_);
  if (Notification.BrokenOff_)
    later(ProbeTime, [this, Id = *Notification.BrokenOff_] {
      classifyBrokenConnection(Id);
    });
}

void Entry::notifyPeers(std::vector<CrashReport> const &Reports) {
  if (Reports.empty())
    return;
  for (auto const &[Id, Location] : Peers_)
    Hooks_.SendToPeer_(Number_, {Location, CrashReports{Reports}});
}

void Entry::classifyBrokenConnection(ServerId const &Id) {
  auto const &Backends = Hooks_.Backends_;
  auto const AnswerOf = [&](ServerId const &Item) {
    return Backends.isUp(Item) ? ProbeAnswer::Accepted : ProbeAnswer::Silent;
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
  for (auto const &Item : Members) {
    if (Item.Liveness_ == Liveness::Gone || Item.Instance_.Id_ == Self_.Id_)
      continue;
    Peers_[Item.Instance_.Id_] = Item.Instance_.Peers_;
    Names.insert(Item.Instance_.Id_);
  }
  Chooser_.setPeers(std::move(Names));
}

} // namespace laburnum::faults
