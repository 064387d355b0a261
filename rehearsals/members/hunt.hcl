# What hunts over members add their schedules to: five routers that know each other, short and lightly loaded.
title   = "Hunt over members"
seconds = 20
settle  = 1
seed    = 1
fleet   = "../fleets/members.hcl"
