#!/usr/bin/env node
// npm links this file at the install, when nothing is built yet.
import "../dist/src/main.js";
