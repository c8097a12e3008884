/**
 * How fresh an entry's configuration is, for the decision whether it may admit requests by it.
 */
export interface ConfigurationFreshness {
    /** Time since a leader confirmed that the version in force here is the newest, in milliseconds. */
    readonly ageMs: number;
    /** Time since a leader committed the first newer version, in milliseconds; undefined where none is known here. */
    readonly outdatedMs: number | undefined;
    /** Time within which a version has to be in force at every entry, in milliseconds. */
    readonly applyMs: number;
}
