/** Layers, each with the lower layers that it may import. */
const allowedImports = {
	model: [],
	transport: ['model'],
	platform: ['transport', 'model'],
	published: ['transport', 'model'],
	targets: ['transport', 'model'],
	peers: ['transport', 'model'],
	decisions: ['model'],
	services: ['decisions', 'targets', 'peers', 'model'],
	daemon: ['services', 'decisions', 'platform', 'published', 'transport', 'targets', 'peers', 'model'],
	// The check of a configuration decodes the documents of the platform as a daemon does.
	cli: ['decisions', 'peers', 'platform', 'model'],
};

const outsideFolders = ['standins', 'bench', 'soak', 'tests'];

const boundaries = Object.entries(allowedImports).map(([layer, allowed]) => {
	const forbidden = [...Object.keys(allowedImports), ...outsideFolders].filter(name => name !== layer && !allowed.includes(name));
	return {
		files: [`src/${layer}/**/*.ts`],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: forbidden.map(name => ({group: [`**/${name}/**`], message: `${layer} may not import ${name}.`})),
			}],
		},
	};
});

const sockets = {
	files: ['src/decisions/**/*.ts', 'src/model/**/*.ts'],
	rules: {
		'no-restricted-modules': ['error', 'node:http', 'node:net', 'undici', 'moleculer'],
	},
};

const config = [
	{ignores: ['dist/**', 'docs/**']},
	{
		rules: {
			// Documents in the store and answers of the stand-ins are written by this project itself, so their types are known.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Tests are compiled first and run from dist/.
			'ava/no-ignored-test-files': 'off',
			// The fixes of this rule and of another formatting rule undo each other on nested object literals.
			'@stylistic/curly-newline': 'off',
		},
	},
	...boundaries,
	sockets,
];

export default config;
