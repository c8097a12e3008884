/**
 * Load balancing by the power of two choices (Mitzenmacher, 2001): the better of two random candidates is taken, so
 * that entries that see the same loads don't all choose the same upstream, and the cost does not grow with the number
 * of upstreams.
 */

/**
 * Chooses a candidate.
 * @param candidates - the candidates
 * @param computeScore - lower is better
 * @param random - a number from 0 up to 1
 * @returns the better of two, or undefined where there is none
 */
export function chooseCandidate<Candidate>(
    candidates: readonly Candidate[],
    computeScore: (candidate: Candidate) => number,
    random: () => number,
): Candidate | undefined {
    if (candidates.length <= 1) {
        return candidates[0];
    }
    const first = Math.floor(random() * candidates.length);
    const offset = 1 + Math.floor(random() * (candidates.length - 1));
    const left = candidates[first];
    const right = candidates[(first + offset) % candidates.length];
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return computeScore(left) <= computeScore(right) ? left : right;
}
