#include "StreamReader.h"

#include <utility>

namespace laburnum {

StreamReader::StreamReader(std::shared_ptr<StreamLog> Log, ReaderNumber Number,
                           std::uint32_t From, std::shared_ptr<void> Admission,
                           OnLeft Left)
    : Log_(std::move(Log)), Number_(Number), Next_(From),
      Admission_(std::move(Admission)), Left_(std::move(Left)) {}

StreamReader::~StreamReader() { release(Delivery::Broken); }

StreamItem StreamReader::pop() {
  auto Item = Log_->read(Number_, Next_);
  if (std::holds_alternative<StreamToken>(Item))
    ++Next_;
  IsWhole_ = std::holds_alternative<StreamComplete>(Item);
  return Item;
}

void StreamReader::release(Delivery How) {
  auto const Left = std::exchange(Left_, nullptr);
  if (!Left)
    return;
  bool const IsDelivered = IsWhole_ && How == Delivery::Written;
  Left(IsDelivered ? Outcome::Whole : Outcome::Part);
  Admission_.reset();
}

} // namespace laburnum
