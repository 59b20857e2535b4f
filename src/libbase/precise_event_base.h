#ifndef CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_
#define CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_

#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Creates an event base whose timers are accurate to a few microseconds. The default event base
/// rounds timeouts up to whole milliseconds, which exceeds the delay allowed for a call.
inline EventBasePtr NewPreciseEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  return base;
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_PRECISE_EVENT_BASE_H_
