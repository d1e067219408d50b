// The storage of easylogging++, in the same archive as its code: programs that
// pull in one always find the other.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
