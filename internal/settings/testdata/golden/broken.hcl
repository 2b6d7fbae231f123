scaler {
  steps = 
