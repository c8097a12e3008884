import { defineFeature } from "./defineFeature.js";

defineFeature("badInput");
