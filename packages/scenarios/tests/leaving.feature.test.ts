import { defineFeature } from "./defineFeature.js";

defineFeature("leaving");
