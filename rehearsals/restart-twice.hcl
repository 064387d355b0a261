# Eleven of sixteen die, and two seconds after they are back the same eleven die again, in the midst of their return.
title   = "Restarted twice"
seconds = 30
quick   = 20
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

restart "most" {
  share = 0.7
  kind  = "kill"
  back  = 0.8
  at    = 9
}
restart "again" {
  share   = 0.7
  kind    = "kill"
  back    = 0.8
  when    = "begins:most"
  plus_ms = 2000
}
