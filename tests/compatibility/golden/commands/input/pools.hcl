# Class pools for a render node: `pumicenotch serve --config deploy/pools.hcl`. docs/pools.md says what each means.

pool "cheap" {            # by these calls studios decide whether to render at all
  stages  = ["preview"]
  reserve = 0.5           # of the running places, whenever there is work for them; idle ones are lent
}

pool "heavy" {
  stages = ["bake"]
}

pool "rest" {
  stages = ["*"]          # whatever no other pool names
}

retries {
  ratio = 0.1             # repeats let in for each first try, while places are short
  burst = 10
}
