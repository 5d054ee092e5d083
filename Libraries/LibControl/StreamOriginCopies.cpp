#include <LibControl/StreamOriginCopies.h>

#include <LibCore/Hash.h>
#include <LibTraffic/PeerFields.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace laburnum {

namespace {

/// Copies of one stream at other instances.
constexpr std::size_t CopyCount = 2;
/// Instances that are asked: their order changes as instances come and go.
constexpr std::size_t AskedCount = CopyCount + 2;
/// A client waits for the answers.
constexpr std::chrono::milliseconds AnswerTimeout{100};

/// The collection of copies. A question names one stream of it.
constexpr std::string_view CopyCollection = "stream-origins";
constexpr std::string_view QuestionPrefix = "stream-origins/";

} // namespace

void StreamOriginCopies::setMembers(std::vector<Member> const &Members) {
  Others_.clear();
  for (auto const &Member : Members)
    if (Member.Liveness_ == Liveness::Live && Member.Instance_.Id_ != Self_.Id_)
      Others_.push_back(Member.Instance_);
}

std::vector<EntryInstance>
StreamOriginCopies::holders(std::string const &FirstAttemptId,
                            std::size_t Count) const {
  auto Order =
      rendezvousOrder(FirstAttemptId, Others_,
                      [](EntryInstance const &Instance) -> std::string const & {
                        return Instance.Id_.text();
                      });
  if (Order.size() > Count)
    Order.erase(Order.begin() + static_cast<std::ptrdiff_t>(Count),
                Order.end());
  return Order;
}

std::vector<SendToPeer> StreamOriginCopies::onBegun(BegunStream const &Stream,
                                                    TimePoint Now) {
  Copies_.onBegun(Stream, Now);
  CollectionUpdate Copy;
  Copy.Collection_ = CopyCollection;
  Copy.Objects_ = {{Stream.FirstAttemptId_, 1, encodeOrigin(Stream.Origin_)}};
  StoreUpdate Update;
  Update.Origin_ = Self_.Id_;
  Update.ReplyTo_ = Self_.Peers_;
  Update.Collections_ = {std::move(Copy)};
  std::vector<SendToPeer> Messages;
  for (auto const &Holder : holders(Stream.FirstAttemptId_, CopyCount))
    Messages.push_back({Holder.Peers_, Update});
  return Messages;
}

void StreamOriginCopies::tick(TimePoint Now) {
  std::vector<std::string> Overdue;
  for (auto const &[FirstAttemptId, Question] : Questions_)
    if (Question.GiveUpAt_ <= Now)
      Overdue.push_back(FirstAttemptId);
  for (auto const &FirstAttemptId : Overdue)
    answer(FirstAttemptId, std::nullopt);
}

std::vector<SendToPeer>
StreamOriginCopies::find(std::string const &FirstAttemptId, TimePoint Now,
                         Done Done) {
  auto const Known = Copies_.find(FirstAttemptId, Now);
  auto const Holders = holders(FirstAttemptId, AskedCount);
  if (Known || FirstAttemptId.empty() || Holders.empty()) {
    Done(Known);
    return {};
  }
  auto &Question = Questions_[FirstAttemptId];
  Question.Waiting_.push_back(std::move(Done));
  if (Question.Waiting_.size() > 1)
    return {};
  Question.Unanswered_ = Holders.size();
  Question.GiveUpAt_ = Now + AnswerTimeout;
  std::vector<SendToPeer> Messages;
  for (auto const &Holder : Holders)
    Messages.push_back(
        {Holder.Peers_,
         SnapshotRequest{Self_.Peers_,
                         {std::string(QuestionPrefix) + FirstAttemptId}}});
  return Messages;
}

std::optional<SendToPeer>
StreamOriginCopies::onRequest(SnapshotRequest const &Request,
                              TimePoint Now) const {
  StoreUpdate Update;
  for (auto const &Collection : Request.Collections_) {
    if (!Collection.starts_with(QuestionPrefix))
      continue;
    auto const FirstAttemptId = Collection.substr(QuestionPrefix.size());
    CollectionUpdate Answer;
    Answer.Collection_ = Collection;
    if (auto const Known = Copies_.find(FirstAttemptId, Now))
      Answer.Objects_.push_back({FirstAttemptId, 1, encodeOrigin(*Known)});
    Update.Collections_.push_back(std::move(Answer));
  }
  if (Update.Collections_.empty())
    return std::nullopt;
  Update.Origin_ = Self_.Id_;
  Update.ReplyTo_ = Self_.Peers_;
  return SendToPeer{Request.ReplyTo_, std::move(Update)};
}

bool StreamOriginCopies::onUpdate(StoreUpdate const &Update, TimePoint Now) {
  bool IsOfCopies = false;
  for (auto const &Collection : Update.Collections_) {
    bool const IsAnswer = Collection.Collection_.starts_with(QuestionPrefix);
    if (!IsAnswer && Collection.Collection_ != CopyCollection)
      continue;
    IsOfCopies = true;
    std::optional<StreamOrigin> Known;
    for (auto const &Object : Collection.Objects_)
      if (auto const Origin = decodeOrigin(Object.Value_)) {
        Copies_.onBegun({Object.Name_, *Origin}, Now);
        Known = Origin;
      }
    if (!IsAnswer)
      continue;
    auto const FirstAttemptId =
        Collection.Collection_.substr(QuestionPrefix.size());
    auto const Asked = Questions_.find(FirstAttemptId);
    if (Asked != Questions_.end() &&
        (Known || --Asked->second.Unanswered_ == 0))
      answer(FirstAttemptId, Known);
  }
  return IsOfCopies;
}

void StreamOriginCopies::answer(std::string const &FirstAttemptId,
                                std::optional<StreamOrigin> const &Origin) {
  auto const Asked = Questions_.extract(FirstAttemptId);
  if (!Asked)
    return;
  for (auto const &Done : Asked.mapped().Waiting_)
    Done(Origin);
}

} // namespace laburnum
