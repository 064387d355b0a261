# Hosts pause while others drain. What are further executions of a statement worth then?
title       = "One execution a statement against four"
script      = "rehearsals/drain-pause.hcl"
pairs       = 12
quick_pairs = 6
seed        = 300
matters     = 0.005

arm "four" {}
arm "one" { executions = 1 }
