#include "basic_log_store.h"

namespace poplardeal {

template class basic_log_store<posix_disk>;

} // namespace poplardeal
