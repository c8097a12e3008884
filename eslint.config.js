import jsdoc from "eslint-plugin-jsdoc";
import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "**/node_modules/**",
            "packages/*/bin/**",
            "target/**",
            "scripts/**",
            "eslint.config.js",
        ],
    },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { tsdoc, jsdoc },
        rules: {
            "tsdoc/syntax": "error",
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "prefer-arrow-callback": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/explicit-module-boundary-types": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/naming-convention": ["error", { selector: "typeLike", format: ["PascalCase"] }, {
                selector: "interface",
                format: ["PascalCase"],
                custom: { regex: "^I[A-Z]", match: false },
            }],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
                require: { FunctionDeclaration: true, ClassDeclaration: true },
            }],
        },
    },
    {
        files: ["packages/{coordination,daemon}/src/**/*.ts", "platform/src/**/*.ts"],
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }],
            "no-restricted-syntax": ["error", {
                selector: "UnaryExpression[operator='void']",
                message: "A promise that nobody awaits needs a handler of its failure; see startTask.ts.",
            }],
        },
    },
    {
        files: ["packages/*/tests/**/*.ts", "platform/tests/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
