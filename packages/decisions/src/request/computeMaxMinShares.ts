/**
 * Max-min fair shares of a capacity that is too small for all. Answers the load of one organisation that asks for much
 * more than the others of its class: those that ask for little get all of it, and only the largest are cut.
 */

/** Most organisations for which the unnamed count: a rate that decays towards 0 would make them infinitely many. */
const MAX_UNNAMED = 1_000_000;

/**
 * Computes the shares.
 * @param offered - what each organisation asks for; the name is empty for the sum of those that are too small to be
 * named
 * @param capacity - what all together can get, in the same unit
 * @returns what each gets, by name: at most what it asks for, and at most the same for all that get less than that
 */
export function computeMaxMinShares(
    offered: Readonly<Record<string, number>>,
    capacity: number,
): ReadonlyMap<string, number> {
    const named = Object.entries(offered).filter(([name]) => name !== "").map(([name, amount]) => ({
        name,
        amount: clampAmount(amount),
        count: 1,
    }));
    const unnamed = clampAmount(offered[""] ?? 0);
    // Each of the unnamed asks for at most as much as the smallest that is named.
    const smallest = named.reduce(
        (least, { amount }) => amount > 0 ? Math.min(least, amount) : least,
        Number.POSITIVE_INFINITY,
    );
    const count = Math.min(MAX_UNNAMED, Math.max(1, Math.ceil(unnamed / smallest)));
    const all = [...named, ...(unnamed > 0 ? [{ name: "", amount: unnamed / count, count }] : [])]
        .sort((one, other) => one.amount - other.amount);
    const shares = new Map<string, number>();
    let remaining = clampAmount(capacity);
    for (const [index, one] of all.entries()) {
        const claimants = all.slice(index).reduce((sum, other) => sum + other.count, 0);
        const share = Math.min(one.amount, remaining / claimants) * one.count;
        shares.set(one.name, share);
        remaining = Math.max(0, remaining - share);
    }
    return shares;
}

function clampAmount(amount: number): number {
    return Number.isFinite(amount) && amount > 0 ? amount : 0;
}
