#pragma once

namespace poplardeal {

/// Keeps SIGHUP pending until `event_loop::onReload` is called; until then it would end the process. Call it first in
/// `main`: threads that exist already are not covered.
void deferReload();
/// Delivers a SIGHUP that is pending; `event_loop::onReload` calls it.
void endReloadDeferral();

} // namespace poplardeal
