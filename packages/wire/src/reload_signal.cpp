#include <csignal>
#include <poplardeal/wire/reload_signal.h>

namespace poplardeal {

static void changeMask(int how)
{
    sigset_t reload;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(how, &reload, nullptr);
}

void deferReload() { changeMask(SIG_BLOCK); }

void endReloadDeferral() { changeMask(SIG_UNBLOCK); }

} // namespace poplardeal
