# One is killed and back within the time of a suspicion.
title   = "Members: soon back"
seconds = 50
quick   = 25
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

restart "blinks" {
  router = 3
  kind   = "kill"
  back   = 0.4
  at     = 24
}
