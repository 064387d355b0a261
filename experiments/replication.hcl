# What keeping state together costs where nothing fails: routers that hand sessions over as before, and those that keep state besides.
title       = "State kept together"
script      = "rehearsals/replication/calm.hcl"
pairs       = 12
quick_pairs = 6
seed        = 900
matters     = 0.005

arm "exchange" { sessions = "exchange" }
arm "state" { sessions = "state" }
