import { defineFeature } from "./defineFeature.js";

defineFeature("configuration");
