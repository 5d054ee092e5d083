#include "StreamReader.h"

#include <utility>

namespace laburnum {

StreamReader::StreamReader(std::shared_ptr<StreamLog> Log, ReaderNumber Number,
                           std::uint32_t From, std::shared_ptr<void> Admission,
                           OnDisconnect Callback)
    : Log_(std::move(Log)), Number_(Number), Next_(From),
      Admission_(std::move(Admission)), OnDisconnect_(std::move(Callback)) {}

StreamReader::~StreamReader() { release(Delivery::Broken); }

StreamItem StreamReader::pop() {
  auto Item = Log_->read(Number_, Next_);
  if (std::holds_alternative<StreamToken>(Item))
    ++Next_;
  IsComplete_ = std::holds_alternative<StreamComplete>(Item);
  return Item;
}

void StreamReader::release(Delivery How) {
  auto const Callback = std::exchange(OnDisconnect_, nullptr);
  if (!Callback)
    return;
  bool const IsDelivered = IsComplete_ && How == Delivery::Written;
  Callback(IsDelivered ? Outcome::Complete : Outcome::Partial);
  Admission_.reset();
}

} // namespace laburnum
