/**
 * The one part of `moleculer` that the daemon uses, so that the bundle holds no runner, command line or error classes.
 */
exports.ServiceBroker = require('../node_modules/moleculer/src/service-broker.js');
