/**
 * Enables the log. Roarr reads this environment variable once, when it is loaded.
 */
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';
