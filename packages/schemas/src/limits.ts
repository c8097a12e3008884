/**
 * Limits on values that other parties send. Code behind a port does not rely on them: stored data may hold other values.
 */

/** Highest port of an address. */
export const MAX_PORT = 65_535;

/** Longest duration, in milliseconds: the sum of two is within the runtime's longest timer, 2^31 - 1 ms. */
export const MAX_DURATION_MS = 2 ** 30;

/** Highest number of layers of a model, which are tracked one by one. */
export const MAX_LAYERS = 10_000;

/** Highest number of concurrent requests of an upstream. */
export const MAX_SLOTS = 1_000_000;

/** Highest count, weight or priority. */
export const MAX_COUNT = 1_000_000_000;

/** Highest size, rate or number of tokens: products of a few stay finite. */
export const MAX_QUANTITY = 1e15;

/** Lowest size, rate or factor by which something is divided: quotients stay finite. */
export const MIN_QUANTITY = 1e-9;

/** Highest factor on the speed of an engine. */
export const MAX_FACTOR = 1_000_000;

/** Length of the longest name, in UTF-16 code units. */
export const MAX_NAME_LENGTH = 1_000;

/** Length of the longest host, path prefix, key or request id, in UTF-16 code units. */
export const MAX_TEXT_LENGTH = 65_536;

/** Entries of a list of which a document has few. */
export const MAX_SHORT_LIST_LENGTH = 10_000;

/** Entries of a list that grows with the callers, such as routes and keys. */
export const MAX_LIST_LENGTH = 500_000;
