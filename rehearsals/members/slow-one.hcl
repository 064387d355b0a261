# One router has a fifth of its processor time: it hears late, and must not take the others for dead.
title   = "Members: a slow one"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

stop "slow" {
  router      = 2
  of_the_time = 0.8
  for         = 20
  at          = 20
}
