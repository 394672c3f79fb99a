import { err, ok, type Result } from 'neverthrow'
import { FolderDisk } from './disk'

/** The file of a data folder that names the host it belongs to. */
const OWNER_FILE = 'owner.json'

interface Owner {
  readonly host: string
}

/**
 * Claims a data folder for a host, once; a folder of another member must not be opened by mistake.
 * @param folder - path of the data folder
 * @param host - name of this host in its settings
 * @returns nothing, or why the folder cannot be used by this host
 */
export async function claimFolder (folder: string, host: string): Promise<Result<void, Error>> {
  try {
    const disk = await FolderDisk.create(folder)
    if (!(await disk.list()).includes(OWNER_FILE)) {
      await disk.replace(OWNER_FILE, [Buffer.from(JSON.stringify({ host } satisfies Owner))])
      return ok(undefined)
    }
    const owner = JSON.parse(Buffer.from(await disk.read(OWNER_FILE)).toString()) as Owner
    if (owner.host === host) return ok(undefined)
    return err(new Error(`data folder ${folder} belongs to host ${owner.host}, not to ${host}: give this host a folder of its own`))
  } catch (error) {
    return err(new Error(`data folder ${folder} cannot be used: ${(error as Error).message}`))
  }
}
