/**
 * What an entry holds of the configuration, for the decision whether it may admit requests by it.
 */
export interface ConfigurationFreshness {
    /** Since a leader confirmed that the version in force here is the newest, in milliseconds. */
    readonly ageMs: number;
    /** Since a leader committed the first version that is newer; undefined where none is known here. */
    readonly newerMs: number | undefined;
    /** How soon a version has to be in force at every entry, in milliseconds. */
    readonly applyMs: number;
}
