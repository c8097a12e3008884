import { defineFeature } from "./defineFeature.js";

defineFeature("notRun");
