# Routers that know each other against routers that do not, on one of the scripts under rehearsals/members (--script names another).
title       = "Members"
script      = "rehearsals/members/split.hcl"
pairs       = 5
quick_pairs = 5
seed        = 900
matters     = 0.01

arm "off" { members = false }
arm "on" { members = true }
