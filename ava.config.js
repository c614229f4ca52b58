const config = {
	files: ['dist/tests/**/*.test.js'],
	concurrency: 4,
	timeout: '60s',
};

export default config;
