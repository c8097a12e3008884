import { defineFeature } from "./defineFeature.js";

defineFeature("layers");
