/**
 * Runs a demo: `--platform` for the users' platform, otherwise the project's own interface.
 */
import process from 'node:process';

await import(process.argv.includes('--platform') ? './platform-demo.js' : './demo.js');
