# The first two and the next two do not hear each other; the last hears all. Nobody is lost.
title   = "Members: a bridge"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "bridge" {
  sides = ["router:0-1", "router:2-3"]
  at    = 20
  for   = 20
}
