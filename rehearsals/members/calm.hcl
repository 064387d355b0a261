# Nothing happens, and nobody is held for dead.
title   = "Members: calm"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

