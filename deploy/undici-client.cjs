/**
 * The only part of `undici` that the daemon uses, so that the bundle contains no fetch, mocks or proxies.
 */
exports.Client = require('../node_modules/undici/lib/dispatcher/client.js');
