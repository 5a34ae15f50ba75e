#pragma once

// The linter takes this header, and the generated one it includes, for system headers and reports nothing in them.
#pragma GCC system_header

#include "raft_generated.h"
