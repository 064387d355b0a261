# Hosts and routers gone at once, hosts cold: the build of commit 7b62631 against the pace by answers.
title       = "A return from a power cut"
script      = "rehearsals/power-cut.hcl"
pairs       = 5
quick_pairs = 5
seed        = 600
matters     = 0.005

arm "before" { router = "target/before/sandstile" }
arm "answers" { pace = "answers" }
