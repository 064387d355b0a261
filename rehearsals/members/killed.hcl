# One is killed, and another told to end; both are back after 6 s under the same names.
title   = "Members: killed and told to end"
seconds = 70
quick   = 35
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

restart "dies" {
  router = 3
  kind   = "kill"
  back   = 6
  at     = 16
}
restart "leaves" {
  router = 4
  kind   = "term"
  back   = 6
  at     = 40
}
