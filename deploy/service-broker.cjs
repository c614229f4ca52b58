/**
 * The only part of `moleculer` that the daemon uses, so that the bundle contains no runner, command line or error classes.
 */
exports.ServiceBroker = require('../node_modules/moleculer/src/service-broker.js');
