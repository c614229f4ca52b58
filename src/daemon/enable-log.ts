/**
 * Switches the log on; the log library reads this variable once, when it is loaded.
 */
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';
