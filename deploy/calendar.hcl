# Turns the release calendar on: harrierreel serve --config FILE --operator deploy/calendar.hcl
# Every controller gets the same file. Of two files the one with the higher revision
# holds, so each change raises it. See docs/calendar.md.
calendar {
  revision = 1
  zone     = "Africa/Nairobi"

  # Windows of one track never overlap in fact, whatever was planned and whoever ends.
  #
  # track "markets" {
  #   window "export-orders" {
  #     team    = "storefront"
  #     classes = ["export-order"]
  #     start   = "2026-01-05T22:00"   # the first one, local time
  #     rule    = "FREQ=DAILY"         # RFC 5545
  #     length  = "3h"                 # or until = "01:00"
  #     slip    = "20m"                # how late it may open
  #     at_end  = "stop"               # or "finish": begin nothing more and let run
  #     missed  = "skip"               # or "run", within late = "4h"
  #     need { accelerators = 24 }
  #   }
  #   window "weekend-pricing" {
  #     team    = "pricing"
  #     classes = ["price-sweep"]
  #     zone    = "Europe/Rome"
  #     start   = "2026-01-10T01:00"
  #     rule    = "FREQ=WEEKLY;BYDAY=SA,SU"
  #     until   = "06:00"
  #   }
  # }
}
