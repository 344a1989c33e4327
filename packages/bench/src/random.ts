/** Seeded random numbers, so that a run can be repeated exactly. */

import { hashText } from "@coltsfootdeal/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws from a seeded generator; every call consumes one number. */
export interface RandomSource {
  /** A uniformly distributed number in [0, 1). */
  readonly uniform: () => number;
  /** An exponentially distributed number with the given mean. */
  readonly exponential: (mean: number) => number;
  /** A uniformly distributed integer in [0, bound). */
  readonly integerBelow: (bound: number) => number;
}

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
  // Without the hash, small consecutive seeds start with similar numbers.
  const generator = xoroshiro128plus(hashText(`seed ${seed}`) | 0);
  const uniform = () => uniformFloat64(generator);
  return {
    uniform,
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    integerBelow: (bound) => Math.floor(uniform() * bound),
  };
}
