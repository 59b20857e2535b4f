#ifndef CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_
#define CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_

#include "libbase/event_ptr.h"

namespace camphorhoist {

/// An event base whose timers are exact to some microseconds. The default base rounds waits up to
/// whole milliseconds, which is more than a call may be delayed.
inline EventBasePtr NewPreciseEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  return base;
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_
