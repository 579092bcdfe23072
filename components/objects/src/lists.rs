//! Lists of a set of objects.

/// Calls a macro for each list of named objects in an `ObjectSet`, with the name of its field
/// and the kind of its objects, as operators see it.
///
/// ```
/// let set = schema::ObjectSet { models: vec![schema::Model::default()], ..Default::default() };
/// let mut kinds = Vec::new();
/// macro_rules! add_kind {
///     ($list:ident, $kind:literal) => {
///         kinds.extend(set.$list.iter().map(|_| $kind));
///     };
/// }
/// objects::for_each_list!(add_kind);
/// assert_eq!(kinds, ["model"]);
/// ```
#[macro_export]
macro_rules! for_each_list {
    ($apply:ident) => {
        $apply!(priorities, "priority");
        $apply!(models, "model");
        $apply!(versions, "version");
        $apply!(adapters, "adapter");
        $apply!(services, "service");
        $apply!(workspaces, "workspace");
    };
}
