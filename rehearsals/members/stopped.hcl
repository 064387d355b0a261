# One router stands still for 3 s, and then for 10 s, and goes on as if nothing had been.
title   = "Members: stopped"
seconds = 80
quick   = 40
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

stop "short" {
  router = 1
  for    = 3
  at     = 16
}
stop "long" {
  router = 1
  for    = 10
  at     = 36
}
