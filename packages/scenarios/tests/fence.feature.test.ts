import { defineFeature } from "./defineFeature.js";

defineFeature("fence");
