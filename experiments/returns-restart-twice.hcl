# The build of commit 7b62631 against the pace by answers.
title       = "Returns: restart-twice"
script      = "rehearsals/restart-twice.hcl"
pairs       = 5
quick_pairs = 5
seed        = 700
matters     = 0.005

arm "before" { router = "target/before/sandstile" }
arm "answers" { pace = "answers" }
