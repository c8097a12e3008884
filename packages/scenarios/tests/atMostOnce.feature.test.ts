import { defineFeature } from "./defineFeature.js";

defineFeature("atMostOnce");
