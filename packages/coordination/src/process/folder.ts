/**
 * The file operations that durable state needs. Tests substitute a folder that simulates crashes.
 */
import { randomUUID } from "node:crypto";
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";

/** A folder whose writes are durable once their promise resolves. */
export interface Folder {
    /** Names of the files. */
    readonly list: () => Promise<readonly string[]>;
    /** Content of a file, or undefined if it does not exist. */
    readonly read: (name: string) => Promise<Buffer | undefined>;
    /** Appends to a file and syncs it; creates the file if it does not exist. */
    readonly append: (name: string, content: Buffer) => Promise<void>;
    /** Replaces a file atomically: after a crash either the old or the new content is there. */
    readonly replace: (name: string, content: Buffer) => Promise<void>;
    readonly remove: (name: string) => Promise<void>;
}

/** Name of the file in which `replace` prepares the new content. */
const temporaryPattern = /\.[\da-f-]{36}\.tmp$/;

/**
 * Opens a folder on disk, and removes what interrupted replacements left there.
 * @param path - the folder; created if it does not exist, with the folders above it
 * @param syncFolder - writes the entries of a folder to disk
 * @returns operations that sync before they resolve
 */
export async function openDiskFolder(
    path: string,
    syncFolder: (path: string) => Promise<void> = syncPath,
): Promise<Folder> {
    const firstCreated = await mkdir(path, { recursive: true });
    await removeTemporaryFiles(path);
    await syncFolder(path);
    if (firstCreated !== undefined) {
        await syncParents(resolve(path), dirname(resolve(firstCreated)), syncFolder);
    }
    const known = new Set(await readdir(path));
    return {
        list: () => readdir(path),
        read: (name) => readFile(join(path, name)).catch(handleMissing),
        append: async (name, content) => {
            await writeSynced(join(path, name), "a", content);
            if (!known.has(name)) {
                await syncPath(path);
                known.add(name);
            }
        },
        replace: async (name, content) => {
            const temporary = join(path, `${name}.${randomUUID()}.tmp`);
            try {
                await writeSynced(temporary, "w", content);
                await rename(temporary, join(path, name));
            }
            catch (error) {
                // A full disk would stay full if each attempt left a file behind.
                await rm(temporary, { force: true }).catch(() => undefined);
                throw error;
            }
            await syncPath(path);
            known.add(name);
        },
        remove: async (name) => {
            await rm(join(path, name), { force: true });
            known.delete(name);
        },
    };
}

/** Without this a power loss may remove a folder that was created, with all synced files in it. */
async function syncParents(path: string, topmost: string, syncFolder: (path: string) => Promise<void>): Promise<void> {
    for (let parent = path; parent !== topmost;) {
        parent = dirname(parent);
        await syncFolder(parent);
    }
}

async function removeTemporaryFiles(path: string): Promise<void> {
    for (const name of await readdir(path)) {
        if (temporaryPattern.test(name)) {
            await rm(join(path, name), { force: true });
        }
    }
}

function handleMissing(error: unknown): undefined {
    if (error instanceof Error && "code" in error && error.code === "ENOENT") {
        return undefined;
    }
    throw error;
}

async function writeSynced(path: string, flags: string, content: Buffer): Promise<void> {
    const file = await open(path, flags);
    try {
        await file.writeFile(content);
        await file.datasync();
    }
    finally {
        await file.close();
    }
}

async function syncPath(path: string): Promise<void> {
    const folder = await open(path, "r");
    try {
        await folder.sync();
    }
    finally {
        await folder.close();
    }
}
