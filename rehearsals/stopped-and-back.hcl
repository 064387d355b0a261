# Four routers stand still for some seconds and go on as if nothing had been. Meanwhile the primary of each group drains and
# another takes over: all that they know, and all that waits in their sockets, is of yesterday.
title   = "Stopped and back"
seconds = 34
quick   = 26
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

stop "still" {
  share = 0.25
  at    = 9
  for   = 10
}
fault "primary-1" {
  kind    = "replace"
  on      = "primary:1"
  when    = "begins:still"
  plus_ms = 1000
}
fault "primary-2" {
  kind    = "drain"
  on      = "primary:2"
  when    = "begins:still"
  plus_ms = 1000
  for     = 12
}
