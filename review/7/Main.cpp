// All processes are killed, and the machines but one return.

#include "../standins-2/FleetCase.h"

using namespace review;

int main(int Count, char **Arguments) {
  limitRun();
  Record Into(Count > 1 ? Arguments[1] : "record.txt");
  FleetCase Case;
  Case.Machines_ = 13;
  Case.Gone_ = 1;
  return play(Case, Into);
}
