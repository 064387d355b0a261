//! What every host of the decisions takes in alike, whatever its protocol: the terms of a deployment, ids
//! turned into small indices, and the list of database hosts as it now stands. It decides nothing.
pub mod host_list;
pub mod interner;
pub mod settings;
