# Routers that learn together against routers that each learn alone.
title       = "Learning together"
script      = "rehearsals/shared-duties.hcl"
pairs       = 5
quick_pairs = 5
seed        = 950
matters     = 0.005

arm "alone" { sessions = "state" }
arm "together" { sessions = "together" }
